package tbmachine

import (
	"io/fs"
	"math"
	"os"
	"path"
	"slices"
	"strconv"
	"strings"
	"syscall"
)

// memoryShare is the share of a machine's memory that one process takes for granted. The rest is for the kernel and for
// other processes. A control group's limit is for its own processes, so that all of it is taken.
const memoryShare = 0.75

// Resources is what a process may use.
type Resources struct {
	// Memory is what the process may have at most, in bytes, or 0 if it is not known: the least of the machine's memory and
	// the limits of its control groups. MemorySource says what bounds it.
	Memory       int64
	MemorySource string
	// FreeMemory is what it may take for granted beside other processes, and FreeMemorySource what bounds that.
	FreeMemory       int64
	FreeMemorySource string
	// Descriptors is the number of file descriptors, or 0 if it is not known.
	Descriptors int64
}

// Read returns the resources of this process. What cannot be read does not bound them.
func Read() Resources {
	r := readMemory(os.DirFS("/"))
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		r.Descriptors = int64(min(limit.Cur, math.MaxInt32))
	}
	return r
}

// readMemory returns the memory that the machine and the control groups of the process allow.
func readMemory(root fs.FS) Resources {
	var r Resources
	if n := machineMemory(root); n > 0 {
		r.Memory, r.MemorySource = n, "the machine's memory"
		r.FreeMemory, r.FreeMemorySource = int64(memoryShare*float64(n)), "three quarters of the machine's memory"
	}
	for _, file := range groupFiles(root) {
		n := readNumber(root, file)
		if n > 0 && (r.Memory == 0 || n < r.Memory) {
			r.Memory, r.MemorySource = n, "/"+file
		}
		if n > 0 && (r.FreeMemory == 0 || n < r.FreeMemory) {
			r.FreeMemory, r.FreeMemorySource = n, "/"+file
		}
	}
	return r
}

// machineMemory returns the memory of the machine in bytes, or 0 if it is not known.
func machineMemory(root fs.FS) int64 {
	data, err := fs.ReadFile(root, "proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		kB, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil || kB > math.MaxInt64>>10 {
			return 0
		}
		return kB << 10
	}
	return 0
}

// groupFiles returns the files that may hold a memory limit of the process: those of its groups and of all groups above
// them. In a container, the path of a group may be one of the host that is not visible; the container's limit then
// stands in the topmost group.
func groupFiles(root fs.FS) []string {
	data, err := fs.ReadFile(root, "proc/self/cgroup")
	if err != nil {
		return nil
	}
	var files []string
	for line := range strings.Lines(string(data)) {
		// A line has the id of a hierarchy, its controllers and the path of the group; version 2 has no controllers.
		fields := strings.SplitN(strings.TrimSuffix(line, "\n"), ":", 3)
		if len(fields) < 3 {
			continue
		}
		folder, name := "sys/fs/cgroup", "memory.max"
		if fields[1] != "" {
			if !slices.Contains(strings.Split(fields[1], ","), "memory") {
				continue
			}
			folder, name = "sys/fs/cgroup/memory", "memory.limit_in_bytes"
		}
		for group := path.Clean("/" + fields[2]); ; group = path.Dir(group) {
			files = append(files, path.Join(folder, group, name))
			if group == "/" {
				break
			}
		}
	}
	return files
}

// readNumber returns the number in a file, or 0 if there is none, as for the value "max".
func readNumber(root fs.FS, file string) int64 {
	data, err := fs.ReadFile(root, file)
	if err != nil {
		return 0
	}
	n, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
