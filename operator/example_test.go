package operator_test

import (
	"os"
	"time"

	"github.com/cuminwheel/cuminwheel/operator"
)

// Two services of a co-operative of day labourers: a claim runs at most once, while
// reading the board may be retried at a second target.
func Example_bajio() {
	board := operator.NewRoute("board", "roster.example", "/board/", 1500*time.Millisecond).
		WithTargetLatency(800*time.Millisecond).WithMaxAttempts(2).WithPriority(2).WithPart("tablero", 1)
	claim := operator.NewRoute("claim", "roster.example", "/claims/", 1500*time.Millisecond).
		WithNeverRepeat().WithPriority(1).WithPart("reparto", 9).WithPart("tablero", 1)
	publication := operator.NewPublication(7).
		WithService("tablero").WithService("reparto").
		WithRoute(board).WithRoute(claim)
	if err := publication.Print(os.Stdout); err != nil {
		panic(err)
	}
	// Output:
	// {
	//   "version": 7,
	//   "services": [
	//     {
	//       "name": "tablero"
	//     },
	//     {
	//       "name": "reparto"
	//     }
	//   ],
	//   "routes": [
	//     {
	//       "name": "board",
	//       "host": "roster.example",
	//       "prefix": "/board/",
	//       "timeout_ms": 1500,
	//       "target_latency_ms": 800,
	//       "priority": 2,
	//       "max_attempts": 2,
	//       "parts": [
	//         {
	//           "service": "tablero",
	//           "weight": 1
	//         }
	//       ]
	//     },
	//     {
	//       "name": "claim",
	//       "host": "roster.example",
	//       "prefix": "/claims/",
	//       "never_repeat": true,
	//       "timeout_ms": 1500,
	//       "priority": 1,
	//       "max_attempts": 1,
	//       "parts": [
	//         {
	//           "service": "reparto",
	//           "weight": 9
	//         },
	//         {
	//           "service": "tablero",
	//           "weight": 1
	//         }
	//       ]
	//     }
	//   ]
	// }
}
