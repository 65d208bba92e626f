package configurator

import (
	"errors"

	"hemlocktally"
)

func isAbsent(err error) bool {
	var absent *hemlocktally.AbsentError
	return errors.As(err, &absent)
}
