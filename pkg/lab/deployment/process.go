package deployment

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Process is one process of a deployment.
type Process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
	once sync.Once
}

// start runs a program whose output goes to a log file. The process is killed
// when this one dies.
func start(dir, name, program string, args ...string) (*Process, error) {
	path := filepath.Join(dir, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &Process{name: name, cmd: cmd, log: path, done: make(chan struct{})}
	started := make(chan error)
	go func() {
		// The death signal is bound to the thread that starts the process.
		runtime.LockOSThread()
		err := cmd.Start()
		started <- err
		if err == nil {
			_ = cmd.Wait()
		}
		_ = log.Close()
		close(p.done)
	}()
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	return p, nil
}

// Name returns the process's name in the deployment.
func (p *Process) Name() string { return p.name }

// PID returns the process identifier.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Log returns what the process wrote.
func (p *Process) Log() string {
	data, _ := os.ReadFile(p.log)
	return string(data)
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process at once.
func (p *Process) Kill() {
	p.once.Do(func() { _ = p.cmd.Process.Kill() })
	<-p.done
}

// Stop asks the process to end, and kills it if it does not within the time.
func (p *Process) Stop(timeout time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		p.Kill()
		return false
	}
}

// Pause freezes the process until Resume.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }
