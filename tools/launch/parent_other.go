//go:build !linux

package launch

import "syscall"

// killWithParent returns no attributes: on this system the package can't tie a child process to its parent.
func killWithParent() *syscall.SysProcAttr {
	return nil
}
