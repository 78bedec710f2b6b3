// Command standin2 plays the cases of the second review as scripts.
package main

import (
	"fmt"
	"os"
)

// cases holds the cases by name. A case returns whether the rule was broken, or an error if it
// couldn't run.
var cases = map[string]func(r *rig) (broken bool, err error){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE")
		os.Exit(2)
	}
	r, err := newRig()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](r)
	r.log("result: broken %v, error %v", broken, err)
	r.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
