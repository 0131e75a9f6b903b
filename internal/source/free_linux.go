package source

import "syscall"

// freeBytes returns how much an ordinary user may still write.
func freeBytes(folder string) (uint64, error) {
	var s syscall.Statfs_t
	if err := syscall.Statfs(folder, &s); err != nil {
		return 0, err
	}
	return s.Bavail * uint64(s.Bsize), nil
}
