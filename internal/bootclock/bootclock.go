// Package bootclock reads the time since the host has booted, the time during which the
// host was suspended included. It never jumps, and it goes on while a process is stopped.
//
// Time-limited rights are checked by it: the monotonic clock of package time does not count
// a suspension, and the time of day may jump. Values of different hosts are not comparable.
// Code that decides takes the value as an argument, and components take Now as a function
// in their configuration.
package bootclock
