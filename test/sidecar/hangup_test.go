package sidecar

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestAHangupDuringTheStartDoesNotEndANode sends the signal while the node reads its settings from
// a pipe, so that it comes before the node follows changes of the file.
func TestAHangupDuringTheStartDoesNotEndANode(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "settings")
	g.Expect(syscall.Mkfifo(file, 0o600)).To(Succeed())
	node := exec.Command(binary, "--settings", file, "--check")
	g.Expect(node.Start()).To(Succeed())
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0) // blocks until the node reads
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(node.Process.Signal(syscall.SIGHUP)).To(Succeed())
	time.Sleep(100 * time.Millisecond)
	_, err = pipe.WriteString("{}")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(pipe.Close()).To(Succeed())
	_ = node.Wait() // the settings have errors
	status := node.ProcessState.Sys().(syscall.WaitStatus)
	g.Expect(status.Signaled()).To(BeFalse(), "ended by %s", status.Signal())
}
