package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Units and fields of the files in /proc.
const (
	// clockTick is the unit of the times in the stat file, pageSize that of the sizes in
	// the statm file.
	clockTick = 10 * time.Millisecond
	pageSize  = 4096
	// statFieldUser and statFieldSystem are the indexes of user and system time among
	// the fields that follow the process name in the stat file.
	statFieldUser, statFieldSystem = 11, 12
)

// ProcessorTime returns the processor time that the process has used.
func (p *Process) ProcessorTime() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID()))
	if err != nil {
		return 0, fmt.Errorf("read processor time of %s: %w", p.name, err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, err := strconv.Atoi(fields[statFieldUser])
	if err != nil {
		return 0, fmt.Errorf("parse processor time of %s: %w", p.name, err)
	}
	system, err := strconv.Atoi(fields[statFieldSystem])
	if err != nil {
		return 0, fmt.Errorf("parse processor time of %s: %w", p.name, err)
	}
	return time.Duration(user+system) * clockTick, nil
}

// ResidentMemory returns the resident memory of the process in bytes.
func (p *Process) ResidentMemory() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.ID()))
	if err != nil {
		return 0, fmt.Errorf("read resident memory of %s: %w", p.name, err)
	}
	pages, err := strconv.Atoi(strings.Fields(string(text))[1])
	if err != nil {
		return 0, fmt.Errorf("parse resident memory of %s: %w", p.name, err)
	}
	return pages * pageSize, nil
}
