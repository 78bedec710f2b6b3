// Package explainer collects the log lines about one request from the logs of many
// processes.
package explainer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// replicaLineMargin is how long before and after a request the lines about its replicas
	// belong to its history.
	replicaLineMargin = 2 * time.Second
	// maxLineBytes bounds one line of a log, in bytes.
	maxLineBytes = 1 << 20
)

// Line is one line of a log.
type Line struct {
	Time time.Time
	// Process is the process that wrote the line: the last word before the JSON object, or
	// the name of the log if there is none.
	Process string
	Message string
	Fields  map[string]any
}

// Read parses the JSON lines of the named log. It skips lines that hold no JSON object with
// a time, and returns their number.
func Read(r io.Reader, name string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Text(), name)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fmt.Errorf("read log %s: %w", name, err)
	}
	return lines, skipped, nil
}

func parseLine(text, name string) (Line, bool) {
	prefix, _, found := strings.Cut(text, "{")
	if !found {
		return Line{}, false
	}
	line := Line{Process: name, Fields: make(map[string]any)}
	if words := strings.Fields(prefix); len(words) > 0 {
		line.Process = words[len(words)-1]
	}
	if json.Unmarshal([]byte(text[len(prefix):]), &line.Fields) != nil {
		return Line{}, false
	}
	at, _ := line.Fields["time"].(string)
	var err error
	if line.Time, err = time.Parse(time.RFC3339Nano, at); err != nil {
		return Line{}, false
	}
	line.Message, _ = line.Fields["msg"].(string)
	for _, key := range []string{"time", "msg", "level"} {
		delete(line.Fields, key)
	}
	return line, true
}

// RequestHistory returns the lines about a request, and the lines about no request but about
// its replicas around that time, sorted by time. It returns nil for an unknown ID.
func RequestHistory(lines []Line, id string) []Line {
	var from, to time.Time
	replicas := make(map[any]bool)
	for _, line := range lines {
		if line.Fields["request"] != id {
			continue
		}
		if from.IsZero() || line.Time.Before(from) {
			from = line.Time
		}
		if line.Time.After(to) {
			to = line.Time
		}
		if replica, found := line.Fields["replica"]; found {
			replicas[replica] = true
		}
	}
	if from.IsZero() {
		return nil
	}
	var history []Line
	for _, line := range lines {
		request, hasRequest := line.Fields["request"]
		near := line.Time.After(from.Add(-replicaLineMargin)) && line.Time.Before(to.Add(replicaLineMargin))
		if request == id || (!hasRequest && near && replicas[line.Fields["replica"]]) {
			history = append(history, line)
		}
	}
	slices.SortStableFunc(history, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return history
}

// String returns the line in a readable form: time of day, process, message and fields.
func (l Line) String() string {
	var fields []string
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		fields = append(fields, fmt.Sprintf("%s=%v", key, l.Fields[key]))
	}
	return fmt.Sprintf("%s %s %s %s", l.Time.Format("15:04:05.000"), l.Process, l.Message, strings.Join(fields, " "))
}
