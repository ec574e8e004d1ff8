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

// Serve makes this process hold daemons for the one that started it. Commands
// run beside one another.
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
			_ = e.Encode(r) // whoever started us is gone, then
		}()
	}
}

// remote is another process that holds daemons.
type remote struct {
	mu   sync.Mutex
	no   uint64
	back map[uint64]chan Result
	gone bool
	cmd  *exec.Cmd
	in   io.WriteCloser
	done chan struct{}
}

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
	r := &remote{cmd: cmd, in: in, back: map[uint64]chan Result{}, done: make(chan struct{})}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go r.listen(out)
	return r, nil
}

func (r *remote) listen(out io.Reader) {
	d := json.NewDecoder(out)
	for {
		var res Result
		if err := d.Decode(&res); err != nil {
			break
		}
		r.mu.Lock()
		ch := r.back[res.No]
		delete(r.back, res.No)
		r.mu.Unlock()
		ch <- res
	}
	r.mu.Lock()
	r.gone = true
	for _, ch := range r.back {
		ch <- Result{Err: "a process of the fleet has ended"}
	}
	r.back = nil
	r.mu.Unlock()
	_ = r.cmd.Wait() // its results are all that counts
	close(r.done)
}

func (r *remote) do(c Command) Result {
	ch := make(chan Result, 1)
	r.mu.Lock()
	if r.gone {
		r.mu.Unlock()
		return Result{Err: "a process of the fleet has ended"}
	}
	r.no++
	c.No = r.no
	r.back[c.No] = ch
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
		_ = r.cmd.Process.Kill() // it may have ended just now
		<-r.done
	}
}
