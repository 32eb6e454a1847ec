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
	name     string
	cmd      *exec.Cmd
	logPath  string
	done     chan struct{}
	killOnce sync.Once
}

// startProcess starts a program and appends its output to the file NAME.log in dir. The
// kernel kills the process when this process ends.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
	path := filepath.Join(dir, name+".log")
	logFile, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &Process{name: name, cmd: cmd, logPath: path, done: make(chan struct{})}
	started := make(chan error)
	go func() {
		// The kernel sends Pdeathsig when the thread that started the process ends, so this
		// goroutine keeps its thread until the process has ended.
		runtime.LockOSThread()
		err := cmd.Start()
		started <- err
		if err == nil {
			_ = cmd.Wait()
		}
		_ = logFile.Close()
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

// Log returns what the process, and earlier ones of the same name, wrote to stdout and stderr.
func (p *Process) Log() string {
	data, _ := os.ReadFile(p.logPath)
	return string(data)
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Status returns how the process ended, such as "exit status 0" or "signal: hangup". It is
// valid after Done.
func (p *Process) Status() string { return p.cmd.ProcessState.String() }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits for the end of the process.
func (p *Process) Kill() {
	p.killOnce.Do(func() { _ = p.cmd.Process.Kill() })
	<-p.done
}

// Stop sends SIGTERM, and kills the process if it has not ended within timeout. It
// reports whether the process ended by itself.
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

// Pause stops the process with SIGSTOP until Resume.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }
