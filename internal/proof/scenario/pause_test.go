package scenario

import (
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

const stopPollInterval = time.Millisecond

// pause stops a process and waits until all its threads have stopped. On a busy machine they go on for many milliseconds after
// the signal was sent, in which a daemon still gets new lists and answers requests that are to find it paused.
func (p *process) pause() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return p.awaitStop()
}

// awaitStop waits until the kernel reports that the whole process has stopped.
func (p *process) awaitStop() error {
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(stopPollInterval) {
		var report unix.Siginfo
		err := unix.Waitid(unix.P_PID, p.cmd.Process.Pid, &report, unix.WSTOPPED|unix.WNOHANG, nil)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return errors.Wrap(err, "scenario: wait for the stop of a process")
		}
		if report.Signo != 0 {
			return nil
		}
	}
	return errors.Errorf("scenario: the process did not stop within %s", eventTimeout)
}

func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "pause NAME, NAME.upstream or platform")
	ts.Check(processOf(ts, args[0]).pause())
}

func cmdPending(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "pending TAG")
	pending := pendingSendOf(ts, args[0])
	select {
	case <-pending.done:
		ts.Fatalf("the request was answered already: %s (%v)", pending.out, pending.err)
	default:
	}
}

// TestPauseAwaitsTheStop guards against scenarios that go on before a paused process has stopped. lists_late_waker failed
// that way: the daemon answered a request by the lists that it had a millisecond after a key was withdrawn.
func TestPauseAwaitsTheStop(t *testing.T) {
	Convey("A pause ends when the process has stopped, also when that takes its time", t, func() {
		p := &process{cmd: exec.Command("sleep", "60"), done: make(chan struct{})}
		So(p.cmd.Start(), ShouldBeNil)
		go func() {
			p.err = p.cmd.Wait()
			close(p.done)
		}()
		stopped := make(chan error, 1)
		go func() { stopped <- p.awaitStop() }()
		select {
		case <-stopped:
			t.Error("the process counts as stopped while it runs")
		case <-time.After(100 * time.Millisecond):
		}
		So(p.signal(syscall.SIGSTOP), ShouldBeNil)
		So(<-stopped, ShouldBeNil)

		So(p.signal(syscall.SIGCONT), ShouldBeNil)
		So(p.pause(), ShouldBeNil)
		p.kill()
		So(p.pause(), ShouldNotBeNil)
	})
}
