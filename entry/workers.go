package entry

import "github.com/alitto/pond/v2"

// maxIdleWorkers is the number of workers that wait for a next task.
const maxIdleWorkers = 64

// workers runs tasks in a pond pool. A few of the pool's goroutines stay when
// they have nothing to do: endpoint calls need a deep stack, which each new
// goroutine would have to grow again.
type workers struct {
	pool pond.Pool
	// next hands a task to an idle worker; idle holds a token for each.
	next chan func()
	idle chan struct{}
	done chan struct{}
}

func newWorkers(size int) *workers {
	return &workers{
		pool: pond.NewPool(size),
		next: make(chan func()),
		idle: make(chan struct{}, min(size/2, maxIdleWorkers)),
		done: make(chan struct{}),
	}
}

// Go runs a task on an idle worker, or else on a new one. It never blocks.
func (w *workers) Go(task func()) error {
	select {
	case w.next <- task:
		return nil
	default:
		return w.pool.Go(func() { w.run(task) })
	}
}

func (w *workers) run(task func()) {
	for {
		task()
		select {
		case w.idle <- struct{}{}:
		default:
			return
		}
		select {
		case task = <-w.next:
			<-w.idle
		case <-w.done:
			return
		}
	}
}

// Stop ends idle workers and waits for the others.
func (w *workers) Stop() {
	close(w.done)
	w.pool.StopAndWait()
}
