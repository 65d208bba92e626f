package logger_test

import (
	"fmt"
	"io"

	"hemlocktally/logger"
)

func ExampleNew() {
	_, err := logger.New(io.Discard, "JSON", "loud")
	fmt.Println(err)
	// Output: log level "loud": not a valid logrus Level: "loud"
}
