// Package program builds the project's programs and runs them as processes that simulations stop, kill and restart.
package program

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// stopTimeout is how long a process may take to exit after SIGTERM before it is killed.
	stopTimeout = 10 * time.Second
	// killGracePeriod is how long after a kill a process's clients may still discover that their connections are closed.
	killGracePeriod = 4 * time.Second
)

// Build builds the program cmd/name into a directory and returns the path of the binary.
func Build(dir, name string) (binary string, err error) {
	binary = filepath.Join(dir, name)
	output, err := exec.Command("go", "build", "-o", binary, "ferrypitch/cmd/"+name).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build %s: %w: %s", name, err, output)
	}
	return binary, nil
}

// Config describes how to start a process.
type Config struct {
	// Binary is the path of the program.
	Binary string
	// Args holds the command-line arguments.
	Args []string
	// Env holds environment variables, NAME=VALUE, to add to those of this process.
	Env []string
	// Log is the path of the file to which standard error is appended.
	Log string
}

// Process runs a program in successive incarnations: it can be stopped, killed and restarted. It is safe for concurrent use.
type Process struct {
	config Config

	mu          sync.Mutex    // protects the fields below
	incarnation *Incarnation  // the current one, or the last one if the process is down
	endedAt     time.Time     // when Kill or Stop was last called; zero if never
	down        bool          // ended by Kill or Stop and not restarted
	finishedCPU time.Duration // of the incarnations that have ended
}

// Incarnation is one operating-system process, from its start to its exit.
type Incarnation struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// Ended returns a channel that is closed once the process has exited and has been reaped.
func (i *Incarnation) Ended() <-chan struct{} { return i.ended }

// HasEnded reports whether the channel that Ended returns is closed.
func (i *Incarnation) HasEnded() bool {
	select {
	case <-i.ended:
		return true
	default:
		return false
	}
}

// HasExited reports whether the process has exited. On a busy machine this can be the case some time before HasEnded reports
// it; the process has no executable in /proc then.
func (i *Incarnation) HasExited() bool {
	_, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", i.cmd.Process.Pid))
	return err != nil
}

// Signal sends a signal to the process.
func (i *Incarnation) Signal(signal syscall.Signal) {
	_ = i.cmd.Process.Signal(signal) // fails only if the process has ended
}

// Succeeded reports whether the process exited with status 0. The process must have ended.
func (i *Incarnation) Succeeded() bool { return i.cmd.ProcessState.Success() }

// Status describes the exit status. The process must have ended.
func (i *Incarnation) Status() string { return i.cmd.ProcessState.String() }

// Start starts a process.
func Start(config Config) (*Process, error) {
	p := &Process{config: config}
	return p, p.Restart()
}

// Restart starts the process if it has ended or is being ended. If it runs, Restart does nothing.
func (p *Process) Restart() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.incarnation != nil && !p.down && !p.incarnation.HasEnded() {
		return nil
	}
	log, err := os.OpenFile(p.config.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.config.Binary, p.config.Args...)
	cmd.Env = append(os.Environ(), p.config.Env...)
	cmd.Stderr = log
	err = cmd.Start()
	_ = log.Close() // the child process has its own descriptor, and this process wrote nothing
	if err != nil {
		return err
	}
	p.incarnation, p.down = &Incarnation{cmd: cmd, ended: make(chan struct{})}, false
	go p.waitForExit(p.incarnation)
	return nil
}

// waitForExit waits until an incarnation has exited.
func (p *Process) waitForExit(incarnation *Incarnation) {
	_ = incarnation.cmd.Wait() // the exit status is in ProcessState
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := incarnation.cmd.ProcessState; state != nil {
		p.finishedCPU += state.UserTime() + state.SystemTime()
	}
	close(incarnation.ended)
}

// Incarnation returns the current incarnation, or the last one if the process has ended.
func (p *Process) Incarnation() *Incarnation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// SetBinary sets the binary that later starts run.
func (p *Process) SetBinary(binary string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config.Binary = binary
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() { p.end(syscall.SIGKILL) }

// Stop sends SIGTERM and waits for the process to exit. A process that takes longer than ten seconds is killed.
func (p *Process) Stop() {
	incarnation := p.Incarnation()
	timer := time.AfterFunc(stopTimeout, func() { incarnation.Signal(syscall.SIGKILL) })
	defer timer.Stop()
	p.end(syscall.SIGTERM)
}

func (p *Process) end(signal syscall.Signal) {
	p.mu.Lock()
	if p.down {
		p.mu.Unlock()
		return
	}
	p.endedAt, p.down = time.Now(), true
	incarnation := p.incarnation
	p.mu.Unlock()
	incarnation.Signal(signal)
	<-incarnation.Ended()
}

// RecentlyKilled reports whether Kill or Stop ended the process and it is still down, or was ended only a few seconds ago.
func (p *Process) RecentlyKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down || !p.endedAt.IsZero() && time.Since(p.endedAt) < killGracePeriod
}
