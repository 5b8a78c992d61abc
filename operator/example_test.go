package operator_test

import (
	"os"

	"github.com/cuminwheel/cuminwheel/operator"
)

// The four services of a co-operative of day labourers. Detection is fast,
// since a claim that lags is a shift lost.
func Example_bajio() {
	publication := operator.Publication{}.
		WithService(operator.NewService("tablero", 18).WithFastDetection().WithRoute("/tablero", "GET")).
		WithService(operator.NewService("reparto", 18).WithFastDetection().
			WithRoute("/reparto/turnos", "GET").
			WithNeverRepeat("/reparto/turnos/claims", "POST")).
		WithService(operator.NewService("nomina", 18).WithFastDetection().WithRoute("/nomina", "GET")).
		WithService(operator.NewService("cuadrillas", 18).WithFastDetection().WithRoute("/cuadrillas", "GET"))
	if err := publication.Print(os.Stdout); err != nil {
		panic(err)
	}
	// Output:
	// {
	//   "services": [
	//     {
	//       "name": "tablero",
	//       "floor_slots": 18,
	//       "detection": "fast",
	//       "routes": [
	//         {
	//           "path_prefix": "/tablero",
	//           "methods": [
	//             "GET"
	//           ]
	//         }
	//       ]
	//     },
	//     {
	//       "name": "reparto",
	//       "floor_slots": 18,
	//       "detection": "fast",
	//       "routes": [
	//         {
	//           "path_prefix": "/reparto/turnos",
	//           "methods": [
	//             "GET"
	//           ]
	//         },
	//         {
	//           "path_prefix": "/reparto/turnos/claims",
	//           "methods": [
	//             "POST"
	//           ],
	//           "never_repeat": true
	//         }
	//       ]
	//     },
	//     {
	//       "name": "nomina",
	//       "floor_slots": 18,
	//       "detection": "fast",
	//       "routes": [
	//         {
	//           "path_prefix": "/nomina",
	//           "methods": [
	//             "GET"
	//           ]
	//         }
	//       ]
	//     },
	//     {
	//       "name": "cuadrillas",
	//       "floor_slots": 18,
	//       "detection": "fast",
	//       "routes": [
	//         {
	//           "path_prefix": "/cuadrillas",
	//           "methods": [
	//             "GET"
	//           ]
	//         }
	//       ]
	//     }
	//   ]
	// }
}
