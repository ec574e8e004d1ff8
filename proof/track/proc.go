package track

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

// Proc is one process of the fleet.
type Proc struct {
	Name       string
	Addr       string // HTTP address
	Wire       string
	Zone       string
	Data       string
	args       []string
	bin        string
	otherBuild bool // runs the other build
	cmd        *exec.Cmd
	done       chan struct{}
	log        string
}

// Up starts or restarts a process.
//
// Example: err := f.Up(f.Daemons[0])
func (f *Fleet) Up(p *Proc) error {
	bin := f.bin
	if p.otherBuild {
		bin = f.OtherBuild
	}
	return p.Run(filepath.Join(bin, p.bin), p.args, nil, filepath.Join(f.Dir, p.Name+".log"))
}

// Run starts a program. env is added to the environment of this process, and output is
// appended to the log file. The kernel kills the program when its parent exits.
//
// Example: err := p.Run("bin/mulleinmast", nil, []string{"A=1"}, "run/box-1.log")
func (p *Proc) Run(program string, args, env []string, log string) error {
	p.log = log
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if env != nil {
		cmd.Env = append(os.Environ(), env...)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// Signal sends a signal to a process.
//
// Example: f.Signal(p, syscall.SIGSTOP)
func (f *Fleet) Signal(p *Proc, s syscall.Signal) { p.Signal(s) }

// Signal sends a signal to the process.
//
// Example: p.Signal(syscall.SIGTERM)
func (p *Proc) Signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// End returns how the process ended, or "" while it runs.
//
// Example: p.End() == "signal: hangup"
func (p *Proc) End() string {
	if p.cmd == nil || p.Up() {
		return ""
	}
	return p.cmd.ProcessState.String()
}

// Limit sets the maximum number of open files of the process.
//
// Example: err := p.Limit(400)
func (p *Proc) Limit(files int) error {
	most := unix.Rlimit{Cur: uint64(files), Max: uint64(files)}
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &most, nil)
}

// LimitFileSize sets the maximum size of a file that the process writes, in bytes; it can be raised again.
//
// Example: err := p.LimitFileSize(60 << 10)
func (p *Proc) LimitFileSize(size uint64) error {
	limit := unix.Rlimit{Cur: size, Max: unix.RLIM_INFINITY}
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// Kill kills a process and waits for its exit.
//
// Example: f.Kill(f.Daemons[0])
func (f *Fleet) Kill(p *Proc) { p.Kill() }

// Kill kills the process and waits for its exit.
//
// Example: p.Kill()
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	if p.done != nil {
		<-p.done
	}
}

// Wipe removes a daemon's data folder.
//
// Example: f.Kill(p); f.Wipe(p); f.Up(p)
func (f *Fleet) Wipe(p *Proc) error { return os.RemoveAll(p.Data) }
