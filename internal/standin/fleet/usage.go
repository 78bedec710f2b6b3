package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Units of the kernel's process files.
const (
	tick     = 10 * time.Millisecond
	pageSize = 4096
	// fieldUser and fieldSystem count fields behind the name in the stat file.
	fieldUser, fieldSystem = 11, 12
)

// ProcessorTime returns the processor time that the process has used.
func (p *Process) ProcessorTime() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID()))
	if err != nil {
		return 0, fmt.Errorf("read usage of %s: %w", p.name, err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, err := strconv.Atoi(fields[fieldUser])
	if err != nil {
		return 0, fmt.Errorf("parse usage of %s: %w", p.name, err)
	}
	system, err := strconv.Atoi(fields[fieldSystem])
	if err != nil {
		return 0, fmt.Errorf("parse usage of %s: %w", p.name, err)
	}
	return time.Duration(user+system) * tick, nil
}

// ResidentMemory returns the resident memory of the process in bytes.
func (p *Process) ResidentMemory() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.ID()))
	if err != nil {
		return 0, fmt.Errorf("read memory of %s: %w", p.name, err)
	}
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	if err != nil {
		return 0, fmt.Errorf("parse memory of %s: %w", p.name, err)
	}
	return pages * pageSize, nil
}
