package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMB is the memory of a machine.
const memoryMB = 284

// Node is a process of the system beside a worker.
type Node struct {
	name, zone, service, ip  string
	inbound, outbound, ready string
	app                      string
	settings                 string
	command                  []string
	log                      *os.File
	record                   *Record

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// stopped is set once the process is not to be started again.
	stopped bool
	// memoryKills counts the ends because of memory.
	memoryKills int
}

// render fills in a settings template. It knows the placeholders that the deploy file of the
// project uses.
func render(template string, fields map[string]any) (string, error) {
	section := regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	text := section.ReplaceAllStringFunc(template, func(found string) string {
		parts := section.FindStringSubmatch(found)
		if lookup(fields, parts[1]) == nil {
			return ""
		}
		return parts[2]
	})
	var failure error
	placeholder := regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
	text = placeholder.ReplaceAllStringFunc(text, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value := lookup(fields, parts[1])
		if value == nil {
			failure = fmt.Errorf("the template names %s, which is not known here", parts[1])
			return ""
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		data, err := json.Marshal(value)
		if err != nil {
			failure = err
		}
		return string(data)
	})
	return text, failure
}

func lookup(fields any, path string) any {
	for name := range strings.SplitSeq(path, ".") {
		switch at := fields.(type) {
		case map[string]any:
			fields = at[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(at) {
				return nil
			}
			fields = at[i]
		default:
			return nil
		}
	}
	return fields
}

// deployCommand returns the command and the template of the deploy file.
func deployCommand(root string) (command []string, template string, err error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, "", err
	}
	for line := range strings.Lines(string(data)) {
		name, value, ok := strings.Cut(line, "=")
		if !ok {
			continue
		}
		text, err := strconv.Unquote(strings.TrimSpace(value))
		switch strings.TrimSpace(name) {
		case "run":
			command = strings.Fields(text)
		case "template":
			template = text
		}
		_ = err // other values need not be strings
	}
	if len(command) == 0 || template == "" {
		return nil, "", fmt.Errorf("deploy/system.toml has no command or no template")
	}
	return command, template, nil
}

// start starts the process.
func (n *Node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(n.command[0], n.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRONZEMAST_BOOT=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.process = cmd
	ended := make(chan struct{})
	n.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *Node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// pid returns the ID of the process.
func (n *Node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process.Process.Pid
}

// killIf kills the process if it is still the one with an ID.
func (n *Node) killIf(pid int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
	default:
		if n.process.Process.Pid == pid {
			_ = n.process.Process.Kill()
		}
	}
}

// stop kills the process for good and waits for its end.
func (n *Node) stop() {
	n.mu.Lock()
	n.stopped = true
	process, ended := n.process, n.ended
	n.mu.Unlock()
	if process != nil {
		_ = process.Process.Kill()
		<-ended
	}
}

// isReady reports whether the node answers the platform's readiness call with 200.
func (n *Node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// residentMB returns the memory of the process in MB, 0 if it is not known.
func (n *Node) residentMB() int {
	n.mu.Lock()
	pid := n.process.Process.Pid
	n.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// limitMemory does what the platform does: it kills a process that exceeds its machine's memory,
// and starts it again after a short delay, as any process that ends.
func (n *Node) limitMemory() {
	for {
		n.mu.Lock()
		stopped, ended := n.stopped, n.ended
		n.mu.Unlock()
		if stopped {
			return
		}
		select {
		case <-ended:
			n.mu.Lock()
			stopped = n.stopped
			n.mu.Unlock()
			if stopped {
				return
			}
			time.Sleep(restartDelay)
			if err := n.start(); err != nil {
				n.record.Note("node %s can't be started again: %v", n.name, err)
				return
			}
		case <-time.After(2 * time.Millisecond):
			if mb := n.residentMB(); mb > memoryMB {
				n.mu.Lock()
				n.memoryKills++
				n.mu.Unlock()
				n.signal(syscall.SIGKILL)
				n.record.Note("the process of %s has %d MB, more than its machine's %d MB, and is killed", n.name, mb, memoryMB)
				<-ended
			}
		}
	}
}

// restartDelay is the platform's delay before a process that has ended is started again.
const restartDelay = 2 * time.Second

// freePorts returns ports that are free on all of the addresses.
func freePorts(n int, ips []string) ([]int, error) {
	var ports []int
	for candidate := 21000; candidate < 60000 && len(ports) < n; candidate++ {
		free := true
		for _, ip := range ips {
			listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(candidate)))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			ports = append(ports, candidate)
		}
	}
	if len(ports) < n {
		return nil, fmt.Errorf("no free ports")
	}
	return ports, nil
}
