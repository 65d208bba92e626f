package hemlocktally

// StoreGeneration counts how often the store has come back from a copy. What it had
// acknowledged since the copy is gone then, and versions and revisions are given out
// again. Zero means that it is not known.
type StoreGeneration uint64

// StorePoint is when something was written: a version counts within one generation
// only.
type StorePoint struct {
	Generation StoreGeneration
	Version    StoreVersion
}

// After reports whether the point lies after another one. Every point of a later
// generation does, whatever the versions say.
func (p StorePoint) After(other StorePoint) bool {
	if p.Generation != other.Generation {
		return p.Generation > other.Generation
	}
	return p.Version > other.Version
}

// Point is when the entry was written.
func (e Entry) Point() StorePoint { return StorePoint{Generation: e.Generation, Version: e.Version} }
