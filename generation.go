package hemlocktally

// StoreGeneration counts how often the store has been restored from a backup. A
// restore loses the writes acknowledged since the backup, and the store then
// assigns their versions and revisions again. Zero means unknown.
type StoreGeneration uint64

// StorePoint is the generation and the version of a write. Versions can be
// compared only within the same generation.
type StorePoint struct {
	Generation StoreGeneration
	Version    StoreVersion
}

// After reports whether p is later than other. A point of a later generation is
// always later, whatever the versions are.
func (p StorePoint) After(other StorePoint) bool {
	if p.Generation != other.Generation {
		return p.Generation > other.Generation
	}
	return p.Version > other.Version
}

// Point returns the generation and version of the entry.
func (e Entry) Point() StorePoint { return StorePoint{Generation: e.Generation, Version: e.Version} }
