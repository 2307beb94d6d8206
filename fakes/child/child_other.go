//go:build !linux

package child

import "os/exec"

// EndWithParent does nothing on this system: the command's process goes on if this program is
// killed.
func EndWithParent(*exec.Cmd) {}
