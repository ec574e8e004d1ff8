package hollow

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Serve runs daemons in this process on behalf of its parent process. Commands run
// concurrently.
//
// Example: err := hollow.Serve(os.Stdin, os.Stdout)
func Serve(in io.Reader, out io.Writer) error {
	w := &worker{}
	defer w.close()
	d, e := json.NewDecoder(in), json.NewEncoder(out)
	var mu sync.Mutex
	for {
		var c Command
		if err := d.Decode(&c); err != nil {
			if err == io.EOF {
				return nil
			}
			return err
		}
		go func() {
			r := w.do(c)
			r.No = c.No
			mu.Lock()
			defer mu.Unlock()
			_ = e.Encode(r) // fails only if the parent has exited
		}()
	}
}

// remote is a child process that runs daemons.
type remote struct {
	mu      sync.Mutex
	lastNo  uint64
	pending map[uint64]chan Result // by command number
	exited  bool
	cmd     *exec.Cmd
	in      io.WriteCloser
	done    chan struct{}
}

// spawn starts a worker process with a limit of processors.
func spawn(program string, procs int) (*remote, error) {
	cmd := exec.Command(program, "-hollow-worker")
	cmd.Stderr = os.Stderr
	cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", procs))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	r := &remote{cmd: cmd, in: in, pending: map[uint64]chan Result{}, done: make(chan struct{})}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go r.readResults(out)
	return r, nil
}

// readResults delivers results until the process exits.
func (r *remote) readResults(out io.Reader) {
	d := json.NewDecoder(out)
	for {
		var res Result
		if err := d.Decode(&res); err != nil {
			break
		}
		r.mu.Lock()
		ch := r.pending[res.No]
		delete(r.pending, res.No)
		r.mu.Unlock()
		ch <- res
	}
	r.mu.Lock()
	r.exited = true
	for _, ch := range r.pending {
		ch <- Result{Err: "a worker process of the fleet has exited"}
	}
	r.pending = nil
	r.mu.Unlock()
	_ = r.cmd.Wait() // the exit status is not used
	close(r.done)
}

func (r *remote) do(c Command) Result {
	ch := make(chan Result, 1)
	r.mu.Lock()
	if r.exited {
		r.mu.Unlock()
		return Result{Err: "a worker process of the fleet has exited"}
	}
	r.lastNo++
	c.No = r.lastNo
	r.pending[c.No] = ch
	err := json.NewEncoder(r.in).Encode(c)
	r.mu.Unlock()
	if err != nil {
		return Result{Err: err.Error()}
	}
	return <-ch
}

func (r *remote) close() {
	_ = r.in.Close()
	select {
	case <-r.done:
	case <-time.After(10 * time.Second):
		_ = r.cmd.Process.Kill() // fails only if it has just exited
		<-r.done
	}
}
