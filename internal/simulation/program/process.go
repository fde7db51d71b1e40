// Package program builds programs of the project and runs them as processes, which simulations kill and start again.
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
	// stopTimeout is how long a process may take to end by itself after SIGTERM.
	stopTimeout = 10 * time.Second
	// killAftermath is how long after a kill the clients of a process may still find their connections ended.
	killAftermath = 4 * time.Second
)

// Build builds a program below cmd into a folder and returns the path of the binary.
func Build(dir, name string) (binary string, err error) {
	binary = filepath.Join(dir, name)
	output, err := exec.Command("go", "build", "-o", binary, "ferrypitch/cmd/"+name).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build %s: %w: %s", name, err, output)
	}
	return binary, nil
}

// Config says how a process is started.
type Config struct {
	// Binary is the path of the program.
	Binary string
	// Args is its arguments.
	Args []string
	// Env is variables, NAME=VALUE, beside those of this process.
	Env []string
	// Log is the path of the file that standard error is appended to.
	Log string
}

// Process is a program that runs, is down, or runs again. Its methods may be called by any goroutine.
type Process struct {
	config Config

	mu       sync.Mutex // protects what follows
	cmd      *exec.Cmd
	endedAt  time.Time // when Kill or Stop last ended it; zero: never
	down     bool
	spentCPU time.Duration // of the runs that are over
}

// Start starts a process.
func Start(config Config) (*Process, error) {
	p := &Process{config: config}
	return p, p.Restart()
}

// Restart starts a process that was killed or stopped; one that runs is left alone.
func (p *Process) Restart() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !p.down {
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
	_ = log.Close() // the process has a descriptor of its own, and nothing was written here
	if err != nil {
		return err
	}
	p.cmd, p.down = cmd, false
	return nil
}

// SetBinary has later starts run another program.
func (p *Process) SetBinary(binary string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.config.Binary = binary
}

// Kill ends a process by SIGKILL and waits for its end.
func (p *Process) Kill() { p.end(syscall.SIGKILL) }

// Stop ends a process by SIGTERM and waits for its end. One that takes longer than ten seconds is killed.
func (p *Process) Stop() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	timer := time.AfterFunc(stopTimeout, func() {
		_ = cmd.Process.Kill() // fails only once it has ended
	})
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
	cmd := p.cmd
	p.mu.Unlock()
	_ = cmd.Process.Signal(signal) // fails only if it has ended
	_ = cmd.Wait()                 // its status is that of the signal
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := cmd.ProcessState; state != nil {
		p.spentCPU += state.UserTime() + state.SystemTime()
	}
}

// RecentlyKilled reports whether the process was ended on purpose and is down, or was until a few seconds ago.
func (p *Process) RecentlyKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down || !p.endedAt.IsZero() && time.Since(p.endedAt) < killAftermath
}
