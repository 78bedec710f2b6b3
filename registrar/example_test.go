package registrar_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/cyclamenward/cyclamenward/internal/standin/keyvalue"
	"github.com/cyclamenward/cyclamenward/registrar"
	"github.com/cyclamenward/cyclamenward/timekeeper"
)

// Two operators apply changes to the same revision; only the first is accepted.
func Example() {
	register := registrar.New(keyvalue.New(timekeeper.System{}, 1).Store(), timekeeper.System{})
	ctx := context.Background()
	fmt.Println(register.Apply(ctx, "service", "first text", "operation-1", 0))
	current, err := register.Apply(ctx, "service", "second text", "operation-2", 0)
	fmt.Println(current, errors.Is(err, registrar.ErrConflict))
	fmt.Println(register.Apply(ctx, "service", "second text", "operation-3", 1))
	// Output:
	// 1 <nil>
	// 1 true
	// 2 <nil>
}
