package launch

import "syscall"

// killWithParent returns attributes that make the kernel kill a child process when its parent ends for any reason.
func killWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
