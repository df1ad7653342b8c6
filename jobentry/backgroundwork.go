package jobentry

import "context"

// backgroundWork runs one function in the background. Stop it before starting
// another. Only the control goroutine starts and stops it.
type backgroundWork struct{ cancel context.CancelFunc }

func (b *backgroundWork) start(ctx context.Context, work func(context.Context)) {
	ctx, b.cancel = context.WithCancel(ctx)
	go work(ctx)
}

// stop cancels the function's context, if it runs, and does not wait for its return.
func (b *backgroundWork) stop() {
	if b.cancel != nil {
		b.cancel()
		b.cancel = nil
	}
}
