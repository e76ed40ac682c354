//go:build !linux

package launch

import "syscall"

// endWithParent returns no attributes where the system can't tie a child to its parent.
func endWithParent() *syscall.SysProcAttr {
	return nil
}
