package experimenter

// Crash ends an instance as a power failure would: its sockets close, nothing
// is handed over, and its lease is left to run out.
func (f *Fleet) Crash(i int) {
	f.mu.Lock()
	if f.crashed == nil {
		f.crashed = map[int]bool{}
	}
	f.crashed[i] = true
	f.mu.Unlock()
	f.Daemons[i].Abort()
	f.stops[i]()
}

// Crashed reports whether the instance was made to crash.
func (f *Fleet) Crashed(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed[i]
}
