package child

import (
	"os/exec"
	"syscall"
)

// EndWithParent makes the system kill the command's process when this program ends, however it
// ends. It is called before the command is started. The system acts on the end of the thread
// that starts the process, so the caller must not be a goroutine that ends while it is locked
// to its thread.
func EndWithParent(cmd *exec.Cmd) {
	if cmd.SysProcAttr == nil {
		cmd.SysProcAttr = &syscall.SysProcAttr{}
	}
	cmd.SysProcAttr.Pdeathsig = syscall.SIGKILL
}
