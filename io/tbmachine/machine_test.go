package tbmachine

import (
	"testing"
	"testing/fstest"

	qt "github.com/frankban/quicktest"
)

const mB = 1 << 20

func TestMemoryIsTheLeastThatTheProcessMayUse(t *testing.T) {
	const meminfo = "MemFree:  10 kB\nMemTotal:  8388608 kB\n"
	const share = "three quarters of the machine's memory"
	const unlimited = "9223372036854771712\n"
	for name, c := range map[string]struct {
		files  map[string]string
		memory int64
		source string
	}{
		"no files":          {nil, 0, ""},
		"machine":           {map[string]string{"proc/meminfo": meminfo}, 6144 * mB, share},
		"malformed machine": {map[string]string{"proc/meminfo": "MemTotal:\nMemTotal: x kB\n"}, 0, ""},
		"huge machine":      {map[string]string{"proc/meminfo": "MemTotal: 9223372036854775807 kB\n"}, 0, ""},
		"version 2": {map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b\n", "sys/fs/cgroup/a/b/memory.max": "536870912\n",
		}, 512 * mB, "/sys/fs/cgroup/a/b/memory.max"},
		"group above": {map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a/b/c\n", "sys/fs/cgroup/a/b/c/memory.max": "max\n",
			"sys/fs/cgroup/a/b/memory.max": "536870912\n", "sys/fs/cgroup/a/memory.max": "268435456\n",
		}, 256 * mB, "/sys/fs/cgroup/a/memory.max"},
		"no limit": {map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/\n", "sys/fs/cgroup/memory.max": "max\n",
		}, 6144 * mB, share},
		"group larger than the machine": {map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/a\n", "sys/fs/cgroup/a/memory.max": "17179869184\n",
		}, 6144 * mB, share},
		"version 1": {map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "12:cpu,cpuacct:/c\n5:memory:/d:e\n1:name=systemd:/s\n",
			"sys/fs/cgroup/memory/d:e/memory.limit_in_bytes": "268435456\n", "sys/fs/cgroup/memory/c/memory.limit_in_bytes": "1048576\n",
		}, 256 * mB, "/sys/fs/cgroup/memory/d:e/memory.limit_in_bytes"},
		"version 1 without limit": {map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "5:hugetlb,memory:/d\n", "sys/fs/cgroup/memory/d/memory.limit_in_bytes": unlimited,
		}, 6144 * mB, share},
		"path of the host": {map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "5:memory:/docker/0123\n0::/docker/0123\n",
			"sys/fs/cgroup/memory/memory.limit_in_bytes": "268435456\n",
		}, 256 * mB, "/sys/fs/cgroup/memory/memory.limit_in_bytes"},
		"path above the namespace": {map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "0::/../other\n", "sys/fs/cgroup/memory.max": "268435456\n",
		}, 256 * mB, "/sys/fs/cgroup/memory.max"},
		"malformed groups": {map[string]string{
			"proc/meminfo": meminfo, "proc/self/cgroup": "\n0:\n:::\n0::\n0::a\n", "sys/fs/cgroup/memory.max": "-1\n", "sys/fs/cgroup/a/memory.max": "lots\n",
		}, 6144 * mB, share},
	} {
		t.Run(name, func(t *testing.T) {
			root := fstest.MapFS{}
			for file, text := range c.files {
				root[file] = &fstest.MapFile{Data: []byte(text)}
			}
			r := readMemory(root)
			qt.Check(t, r.FreeMemory, qt.Equals, c.memory)
			qt.Check(t, r.FreeMemorySource, qt.Equals, c.source)
			most, source := c.memory, c.source
			if c.source == share {
				most, source = 8192*mB, "the machine's memory"
			}
			qt.Check(t, r.Memory, qt.Equals, most)
			qt.Check(t, r.MemorySource, qt.Equals, source)
		})
	}
}

// A group's limit below the machine's memory is the most that a process may have, but not free if it is above the share.
func TestGroupAboveTheShareOfTheMachine(t *testing.T) {
	r := readMemory(fstest.MapFS{
		"proc/meminfo":               {Data: []byte("MemTotal: 1048576 kB\n")},
		"proc/self/cgroup":           {Data: []byte("0::/a\n")},
		"sys/fs/cgroup/a/memory.max": {Data: []byte("939524096\n")},
	})
	qt.Check(t, r.FreeMemory, qt.Equals, int64(768*mB))
	qt.Check(t, r.Memory, qt.Equals, int64(896*mB))
}
