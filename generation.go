package hemlocktally

// StoreGeneration counts how often the store has been restored from a backup. A
// restore loses the writes acknowledged since the backup, and the store then
// assigns their versions and revisions again. Zero means unknown.
type StoreGeneration uint64

// GenerationVersion is the generation and the version of a write. Versions can be
// compared only within the same generation.
type GenerationVersion struct {
	Generation StoreGeneration
	Version    StoreVersion
}

// After reports whether p is later than other. A point of a later generation is
// always later, whatever the versions are.
func (p GenerationVersion) After(other GenerationVersion) bool {
	if p.Generation != other.Generation {
		return p.Generation > other.Generation
	}
	return p.Version > other.Version
}

// GenerationVersion returns the generation and version of the entry.
func (e Entry) GenerationVersion() GenerationVersion {
	return GenerationVersion{Generation: e.Generation, Version: e.Version}
}
