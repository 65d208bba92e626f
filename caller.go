package hemlocktally

// CallerName identifies a caller.
type CallerName string

// AnonymousCaller is the name of the caller of a request that has no known key.
const AnonymousCaller CallerName = "anonymous"

// Caller is a client whose requests the balancer serves. It is identified by
// its key, never by a header that it could set itself.
type Caller struct {
	Name      CallerName
	Tenant    string
	KeySHA256 string // KeySHA256 is the hexadecimal SHA-256 digest of the key.
}
