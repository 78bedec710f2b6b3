// Package explainer tells the history of one request from the logs of many
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
	// margin is how long before and after a request lines about its replicas count.
	margin = 2 * time.Second
	// maxLine bounds one line of a log, in bytes.
	maxLine = 1 << 20
)

// Line is one line of a log.
type Line struct {
	Time time.Time
	// Process is where the line comes from: what stands before its JSON, else the
	// name of its file.
	Process string
	Message string
	Fields  map[string]any
}

// Read reads the JSON lines of a log. Lines without JSON are left out; their number
// is returned.
func Read(r io.Reader, name string) (lines []Line, others int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text(), name)
		if !ok {
			others++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fmt.Errorf("read log %s: %w", name, err)
	}
	return lines, others, nil
}

func parse(text, name string) (Line, bool) {
	before, _, found := strings.Cut(text, "{")
	if !found {
		return Line{}, false
	}
	line := Line{Process: name, Fields: make(map[string]any)}
	if words := strings.Fields(before); len(words) > 0 {
		line.Process = words[len(words)-1]
	}
	if json.Unmarshal([]byte(text[len(before):]), &line.Fields) != nil {
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

// RequestHistory returns the lines about a request in the order of time, and those about
// the replicas that it met around then. It returns nothing for an unknown id.
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
		request, about := line.Fields["request"]
		near := line.Time.After(from.Add(-margin)) && line.Time.Before(to.Add(margin))
		if request == id || (!about && near && replicas[line.Fields["replica"]]) {
			history = append(history, line)
		}
	}
	slices.SortStableFunc(history, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return history
}

// String returns the line for people.
func (l Line) String() string {
	var fields []string
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		fields = append(fields, fmt.Sprintf("%s=%v", key, l.Fields[key]))
	}
	return fmt.Sprintf("%s %s %s %s", l.Time.Format("15:04:05.000"), l.Process, l.Message, strings.Join(fields, " "))
}
