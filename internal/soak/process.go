package soak

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"cuminlift/internal/mutant"
)

// process is a program that was started.
type process struct {
	command *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

// signal sends a signal to the process, which may have ended.
func (p *process) signal(s syscall.Signal) {
	// A process that has ended needs no signal.
	_ = p.command.Process.Signal(s)
}

// kill ends the process and returns when it has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// start starts a program, whose error output goes to a file in the folder.
func (k *cluster) start(name, program string, out io.Writer, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(k.config.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(k.config.Programs, program), args...)
	command.Env = append(os.Environ(), mutant.Variable+"="+string(k.config.Mutant))
	command.Stderr = log
	command.Stdout = out
	if out == nil {
		command.Stdout = log
	}
	// The process does not outlive the soak.
	command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
		Setpgid:   true,
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	p := &process{
		command: command,
		ended:   make(chan struct{}),
	}
	go func() {
		// How it ended is in its log.
		_ = command.Wait()
		close(p.ended)
	}()
	return p, nil
}
