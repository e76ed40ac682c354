package launch

import "syscall"

// endWithParent returns the attributes of a child that is killed when its parent ends, however that ends.
func endWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
