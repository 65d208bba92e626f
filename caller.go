package hemlocktally

// CallerName names a caller; AnonymousCaller is one that showed no key.
type CallerName string

// AnonymousCaller is the caller of a request without a known key.
const AnonymousCaller CallerName = "anonymous"

// Caller is someone whose requests the balancer serves. A caller is known by
// its key, never by a header that it could write itself.
type Caller struct {
	Name      CallerName
	Tenant    string
	KeySHA256 string // KeySHA256 is the hexadecimal digest of its key.
}
