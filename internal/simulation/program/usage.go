package program

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the processor time of all incarnations.
	CPU time.Duration
	// ResidentKB is the resident memory of the current incarnation in kB, or 0 if the process is down.
	ResidentKB int
}

// clockTick is the unit of processor times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Indexes of the processor times among the fields of /proc/PID/stat that follow the program's name. The name may contain
// spaces.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// Usage returns the current usage. A value that can't be read from /proc counts as 0.
func (p *Process) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down || p.incarnation.HasEnded() {
		return Usage{CPU: p.finishedCPU}
	}
	pid := p.incarnation.cmd.Process.Pid
	return Usage{CPU: p.finishedCPU + readCPU("/proc/"+strconv.Itoa(pid)+"/stat"), ResidentKB: ResidentKB(pid)}
}

func readCPU(path string) time.Duration {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	afterName := text[bytes.LastIndexByte(text, ')')+1:]
	fields := strings.Fields(string(afterName))
	if len(fields) <= systemTimeField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userTimeField])
	system, _ := strconv.Atoi(fields[systemTimeField])
	return time.Duration(user+system) * clockTick
}

// ResidentKB returns the resident memory of a process in kB, or 0 if the process does not run.
func ResidentKB(pid int) int {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(text), "VmRSS:")
	if !found {
		return 0
	}
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	resident, _ := strconv.Atoi(fields[0])
	return resident
}
