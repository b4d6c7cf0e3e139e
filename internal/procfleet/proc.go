package procfleet

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/bronzemast/bronzemast/model"
	"github.com/pkg/errors"
)

// operatorTimeout bounds each request to a node's operator address.
const operatorTimeout = 5 * time.Second

// maxPageBytes bounds the size of an operator page that is read.
const maxPageBytes = 16 << 20

// ErrNotRunning is returned by operations on a process that is not running.
var ErrNotRunning = errors.New("process is not running")

// Proc is the node process of one host. It can be started again after it has ended. It is
// safe for concurrent use.
type Proc struct {
	// Host is the host as the host list describes it.
	Host model.Host
	// OperatorAddress is the operator address, empty if there is none.
	OperatorAddress string

	settingsFile string
	logFile      string

	mu      sync.Mutex
	binary  string
	command *exec.Cmd
	// ended is closed when the process of command has ended; nil before the first start.
	ended chan struct{}
	// exitErr is the result of the last process that has ended.
	exitErr error
}

// NewProc returns the process of a host without starting it. The process runs the program
// binary with the settings file and appends its output to the log file.
func NewProc(host model.Host, binary, settingsFile, logFile string) *Proc {
	return &Proc{Host: host, binary: binary, settingsFile: settingsFile, logFile: logFile}
}

// SetBinary sets the program that the next start runs.
func (p *Proc) SetBinary(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.binary = path
}

// Start starts the process. Its log is appended to that of the previous processes. It
// returns an error if a process is running.
func (p *Proc) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return errors.Errorf("host %s: process is already running", p.Host.ID)
	}
	output, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer output.Close()
	command := exec.Command(p.binary, "--settings", p.settingsFile)
	command.Stdout = output
	command.Stderr = output
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "host %s", p.Host.ID)
	}
	p.command = command
	ended := make(chan struct{})
	p.ended = ended
	go func() {
		err := command.Wait()
		p.mu.Lock()
		p.exitErr = err
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// running reports whether the process is running. The caller holds mu.
func (p *Proc) running() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Running reports whether the process is running. A paused process counts as running.
func (p *Proc) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// PID returns the ID of the last process that was started, or 0 if there is none.
func (p *Proc) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

func (p *Proc) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return ErrNotRunning
	}
	return p.command.Process.Signal(s)
}

// Pause suspends the process with SIGSTOP.
func (p *Proc) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Proc) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process with SIGTERM to drain and exit.
func (p *Proc) Terminate() error { return p.signal(syscall.SIGTERM) }

// Hangup asks the process with SIGHUP to reload its settings.
func (p *Proc) Hangup() error { return p.signal(syscall.SIGHUP) }

// Kill ends the process with SIGKILL and waits until it has ended.
func (p *Proc) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Ended()
	return nil
}

// Ended returns a channel that is closed when the process that was started last has ended.
// It is closed already if none was started.
func (p *Proc) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	return p.ended
}

// ExitError returns the error with which the last process ended, nil for exit code 0.
func (p *Proc) ExitError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// Log returns the log of all processes of the host, or the text of the error if the log
// cannot be read.
func (p *Proc) Log() string {
	data, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

var operatorClient = &http.Client{
	Timeout:   operatorTimeout,
	Transport: &http.Transport{MaxIdleConnsPerHost: 1},
}

// Get decodes a JSON page of the operator address into dst. It returns an error for any
// status but 200.
func (p *Proc) Get(path string, dst any) error {
	response, err := operatorClient.Get("http://" + p.OperatorAddress + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d: %s", path, response.StatusCode, body)
	}
	return errors.Wrap(json.Unmarshal(body, dst), path)
}

// Usage is the resource usage of a process.
type Usage struct {
	// CPU is the processor time in user and kernel mode since the start of the process.
	CPU time.Duration
	// ResidentBytes is the size of the resident memory.
	ResidentBytes uint64
}

// Usage reads the resource usage of the process from /proc.
func (p *Proc) Usage() (Usage, error) {
	return readUsage(p.PID())
}

// SettingsFile returns the path of the node's settings file, so that the caller can run the
// node in its own process.
func (p *Proc) SettingsFile() string {
	return p.settingsFile
}
