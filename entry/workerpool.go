package entry

import "github.com/alitto/pond/v2"

// maxIdleWorkers is the limit for idle workers.
const maxIdleWorkers = 64

// workerPool runs tasks in a pond pool. Some of the pool's goroutines stay alive
// while they are idle: endpoint calls need a deep stack, which each new goroutine
// would have to grow again.
type workerPool struct {
	pool pond.Pool
	// handoff passes a task to an idle worker. idle holds a token for each idle
	// worker.
	handoff chan func()
	idle    chan struct{}
	done    chan struct{}
}

func newWorkerPool(size int) *workerPool {
	return &workerPool{
		pool:    pond.NewPool(size),
		handoff: make(chan func()),
		idle:    make(chan struct{}, min(size/2, maxIdleWorkers)),
		done:    make(chan struct{}),
	}
}

// Go runs a task on an idle worker, or on a new one if no worker is idle. It
// never blocks.
func (w *workerPool) Go(task func()) error {
	select {
	case w.handoff <- task:
		return nil
	default:
		return w.pool.Go(func() { w.run(task) })
	}
}

func (w *workerPool) run(task func()) {
	for {
		task()
		select {
		case w.idle <- struct{}{}:
		default:
			return
		}
		select {
		case task = <-w.handoff:
			<-w.idle
		case <-w.done:
			return
		}
	}
}

// Stop ends idle workers and waits until the others have finished their tasks.
func (w *workerPool) Stop() {
	close(w.done)
	w.pool.StopAndWait()
}
