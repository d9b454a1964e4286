package factory

import (
	"context"
	"errors"
	"net"

	goa "goa.design/goa/v3/pkg"

	"github.com/mustardramp/mustardramp/gen/contract"
)

// ExitCode is the status with which the program ends.
type ExitCode int

// The exit codes. They do not change between versions.
const (
	ExitOK ExitCode = iota
	// ExitFailure is any other failure.
	ExitFailure
	// ExitUsage is a wrong command line or setting.
	ExitUsage
	// ExitConflict is a change that starts from an old revision.
	ExitConflict
	// ExitUnreachable is a host that does not answer or cannot answer now.
	ExitUnreachable
	// ExitNotFound is a name that nothing has.
	ExitNotFound
	// ExitUnauthorized is a missing or wrong token.
	ExitUnauthorized
	// ExitFaults is a contract file with faults.
	ExitFaults
)

// Problem is an error whose one line names the remedy.
type Problem struct {
	Code   ExitCode
	Reason string
	Remedy string
}

// Error returns "reason: remedy".
func (p *Problem) Error() string {
	if p.Remedy == "" {
		return p.Reason
	}
	return p.Reason + ": " + p.Remedy
}

// Explain turns an error into a Problem.
func Explain(err error) *Problem {
	var problem *Problem
	if errors.As(err, &problem) {
		return problem
	}
	var conflict *contract.Conflict
	if errors.As(err, &conflict) {
		return &Problem{ExitConflict, "service " + conflict.Service + " moved on", "look at it with 'contract show " + conflict.Service + "' and publish again"}
	}
	var faults *contract.Faults
	if errors.As(err, &faults) {
		return &Problem{ExitFaults, "the files have faults", "mend them and run 'contract check'"}
	}
	var named *goa.ServiceError
	if errors.As(err, &named) {
		return explainNamed(named)
	}
	var dial *net.OpError
	if errors.As(err, &dial) || errors.Is(err, context.DeadlineExceeded) {
		return &Problem{ExitUnreachable, err.Error(), "check --admin, or ask another host"}
	}
	return &Problem{Code: ExitFailure, Reason: err.Error()}
}

func explainNamed(err *goa.ServiceError) *Problem {
	switch err.Name {
	case "unauthorized":
		return &Problem{ExitUnauthorized, "the host refused the token", "set --token or MUSTARDRAMP_TOKEN"}
	case "not_found":
		return &Problem{ExitNotFound, err.Message, "check the name, or ask another host"}
	case "unavailable":
		return &Problem{ExitUnreachable, err.Message, "try again, or ask another host"}
	case "invalid":
		return &Problem{ExitUsage, err.Message, "see --help"}
	default:
		return &Problem{Code: ExitFailure, Reason: err.Message}
	}
}
