// Command standin3 plays the cases of the third review against the project's own processes.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// caseFunc plays a case and reports whether the rule was broken.
type caseFunc func(d *deployment, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE DIRECTORY")
		os.Exit(2)
	}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	record := &recorder{file: file, t0: time.Now()}
	traffic = record
	d, err := newDeployment(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, trouble %t", os.Args[1], trouble)
	broken, err := play(d, trouble)
	d.close()
	code, text := 0, "the rule held"
	switch {
	case err != nil:
		code, text = 2, "the case couldn't run: "+err.Error()
	case broken:
		code, text = 1, "the rule was broken"
	}
	record.note("%s", text)
	fmt.Println(text)
	_ = file.Close()
	os.Exit(code)
}
