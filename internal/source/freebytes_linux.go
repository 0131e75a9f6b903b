package source

import "syscall"

// freeBytes returns the space in bytes that is available to unprivileged users
// on the file system that holds folder.
func freeBytes(folder string) (uint64, error) {
	var s syscall.Statfs_t
	if err := syscall.Statfs(folder, &s); err != nil {
		return 0, err
	}
	return s.Bavail * uint64(s.Bsize), nil
}
