package jobentry

import "context"

// replaceable is work in the background that ends before other such work takes
// its place. The control goroutine alone starts and ends it.
type replaceable struct{ stop context.CancelFunc }

func (r *replaceable) start(ctx context.Context, work func(context.Context)) {
	ctx, r.stop = context.WithCancel(ctx)
	go work(ctx)
}

// end tells the work, if there is any, to end, and does not wait.
func (r *replaceable) end() {
	if r.stop != nil {
		r.stop()
		r.stop = nil
	}
}
