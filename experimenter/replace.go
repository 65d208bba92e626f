package experimenter

import "context"

// Add starts one more instance and returns its number, without waiting until it
// is ready. It must not run at the same time as others that use Daemons.
func (f *Fleet) Add(ctx context.Context) (int, error) {
	i := len(f.Daemons)
	return i, f.startInstance(ctx, i)
}
