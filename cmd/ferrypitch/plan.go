package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"ferrypitch/internal/router/service"
	"ferrypitch/internal/router/setup"
	"ferrypitch/internal/router/tier/plannerserver"
	"ferrypitch/internal/router/trace/file"
	"ferrypitch/internal/router/trace/record"
)

func planCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "plan FILE",
		Short: "Compute views and publish them to forwarders",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			operator, err := setup.LoadOperator(args[0], os.Getenv)
			if err != nil {
				return err
			}
			switch {
			case operator.Plan == nil:
				return fmt.Errorf("%s: plan: missing", args[0])
			case operator.Start.Discovery == "":
				return fmt.Errorf("%s: discovery: missing", args[0])
			}
			return runPlanner(operator)
		},
	}
}

// runPlanner runs a planner until a signal stops it or it fails.
func runPlanner(operator *setup.Operator) error {
	signals := make(chan os.Signal, signalQueueSize)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGHUP)
	log, err := startProcess(operator.Start)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", operator.Plan.Listen)
	if err != nil {
		log.Error("ended", zap.Error(fmt.Errorf("plan.listen: %w", err)))
		return exitStatus(exitFailed)
	}
	var recorder *record.Planner
	var writer *file.Writer
	if section := operator.Trace; section != nil {
		if writer, err = service.NewTraceWriter(operator.Start, section, log); err != nil {
			return fmt.Errorf("trace: %w", err)
		}
		recorder = record.NewPlanner(writer, section.BlockBytes)
	}
	finishTrace := service.StartTrace(writer)
	planner := plannerserver.New(operator.Start, operator.Plan, service.NewIncarnation(), recorder, log)
	counters := func() []zap.Field {
		fields := planner.LogFields()
		if writer != nil {
			fields = append(fields, writer.LogFields()...)
		}
		return fields
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	runErr := make(chan error, 1)
	go func() { runErr <- planner.Run(ctx, listener) }()
	log.Info("started", zap.Stringer("listen", listener.Addr()))
	err = awaitPlanner(runErr, signals, cancel, counters, log)
	err = errors.Join(err, finishTrace())
	log.Info("counts", counters()...)
	if err != nil && ctx.Err() == nil {
		log.Error("ended", zap.Error(err))
		return exitStatus(exitFailed)
	}
	return nil
}

// awaitPlanner handles signals until the planner has stopped, and returns the planner's error. SIGUSR1 logs the counters; any other
// signal calls cancel, which stops the planner.
func awaitPlanner(runErr <-chan error, signals <-chan os.Signal, cancel func(), counters func() []zap.Field, log *zap.Logger) error {
	for {
		select {
		case received := <-signals:
			if received == syscall.SIGUSR1 {
				log.Info("counts", counters()...)
				continue
			}
			log.Info("stopping", zap.String("signal", received.String()))
			cancel()
		case err := <-runErr:
			return err
		}
	}
}
