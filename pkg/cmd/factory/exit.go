package factory

import (
	"context"
	"errors"
	"net"

	goa "goa.design/goa/v3/pkg"

	"github.com/mustardramp/mustardramp/gen/contract"
)

// ExitCode is the exit status of the program.
type ExitCode int

// The exit codes. They do not change between versions.
const (
	// ExitOK means success.
	ExitOK ExitCode = iota
	// ExitFailure means a failure without a code of its own.
	ExitFailure
	// ExitUsage means an invalid command line or setting.
	ExitUsage
	// ExitConflict means that a change starts from a revision that is no longer in
	// force.
	ExitConflict
	// ExitUnreachable means that a host does not answer, or cannot at present.
	ExitUnreachable
	// ExitNotFound means that nothing has the given name.
	ExitNotFound
	// ExitUnauthorized means that the token is missing or wrong.
	ExitUnauthorized
	// ExitFaults means that a contract file has faults.
	ExitFaults
)

// Problem is an error with an exit code and a remedy for the operator.
type Problem struct {
	Code ExitCode
	// Reason states what failed.
	Reason string
	// Remedy states how to resolve it, or is empty.
	Remedy string
}

// Error returns "reason: remedy", or the reason if there is no remedy.
func (p *Problem) Error() string {
	if p.Remedy == "" {
		return p.Reason
	}
	return p.Reason + ": " + p.Remedy
}

// Explain returns the Problem that an error is or wraps. For the errors of the
// administration API and of the network, it returns a Problem with the matching exit
// code; for any other error, one with ExitFailure.
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
	var serviceError *goa.ServiceError
	if errors.As(err, &serviceError) {
		return explainServiceError(serviceError)
	}
	var networkError *net.OpError
	if errors.As(err, &networkError) || errors.Is(err, context.DeadlineExceeded) {
		return &Problem{ExitUnreachable, err.Error(), "check --admin, or ask another host"}
	}
	return &Problem{Code: ExitFailure, Reason: err.Error()}
}

// explainServiceError returns the Problem for an error of the administration API.
func explainServiceError(err *goa.ServiceError) *Problem {
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
