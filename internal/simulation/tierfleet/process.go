package tierfleet

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is a program of the product, run as service would.
type Process struct {
	binary string
	env    []string
	args   []string
	log    string

	mu     sync.Mutex
	cmd    *exec.Cmd
	killed time.Time
	down   bool
	cpu    time.Duration // of runs that are over
}

// Build builds a program of the project into a folder.
func Build(dir, program string) (binary string, err error) {
	binary = filepath.Join(dir, program)
	out, err := exec.Command("go", "build", "-o", binary, "ferrypitch/cmd/"+program).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, out)
	}
	return binary, nil
}

// Start starts it, with its log beside its file.
func Start(binary, log string, args ...string) (*Process, error) {
	return StartWith(nil, binary, log, args...)
}

// StartWith starts it with more variables, NAME=VALUE.
func StartWith(env []string, binary, log string, args ...string) (*Process, error) {
	p := &Process{binary: binary, env: env, args: args, log: log}
	return p, p.Again()
}

// Again starts it once more after Kill; one that runs is left alone.
func (p *Process) Again() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !p.down {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.binary, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.down = cmd, false
	return nil
}

// Kill ends it at once and waits for that.
func (p *Process) Kill() { p.end(syscall.SIGKILL) }

// Stop ends it by SIGTERM and waits, killing it when it takes too long.
func (p *Process) Stop() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	late := time.AfterFunc(10*time.Second, func() { cmd.Process.Kill() })
	defer late.Stop()
	p.end(syscall.SIGTERM)
}

func (p *Process) end(s syscall.Signal) {
	p.mu.Lock()
	if p.down {
		p.mu.Unlock()
		return
	}
	p.killed, p.down = time.Now(), true
	cmd := p.cmd
	p.mu.Unlock()
	cmd.Process.Signal(s)
	cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if cmd.ProcessState != nil {
		p.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	}
}

// Killed says that it was ended on purpose not long ago.
func (p *Process) Killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down || time.Since(p.killed) < 4*time.Second && !p.killed.IsZero()
}

// Use is the processor time of all its runs, and the resident memory in kB of this one.
func (p *Process) Use() (cpu time.Duration, resident int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cpu = p.cpu
	if p.down {
		return cpu, 0
	}
	at := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	if text, err := os.ReadFile(at + "/stat"); err == nil {
		if fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:])); len(fields) > 12 {
			user, _ := strconv.Atoi(fields[11])
			system, _ := strconv.Atoi(fields[12])
			cpu += time.Duration(user+system) * 10 * time.Millisecond // the kernel's ticks are hundredths
		}
	}
	if text, err := os.ReadFile(at + "/status"); err == nil {
		if _, rest, ok := strings.Cut(string(text), "VmRSS:"); ok {
			resident, _ = strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return cpu, resident
}
