package transport

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"foxlane/internal/gateway"
)

// execute executes an effect of the reducer. SetTimer and Exit are handled by the reducer loop.
func (s *Server) execute(effect gateway.Effect) {
	switch effect := effect.(type) {
	case *gateway.Write:
		if c := s.connByID(effect.Conn); c != nil {
			s.send(c, effect.Data)
		}
	case gateway.CloseConnection:
		if c := s.connByID(effect.Conn); c != nil {
			s.closeAfterWrites(c)
		} else {
			s.cancelDial(effect.Conn)
		}
	case gateway.ResetConnection:
		if c := s.connByID(effect.Conn); c != nil {
			s.reset(c)
		}
	case gateway.NotifyDrained:
		if c := s.connByID(effect.Conn); c != nil {
			s.notifyWhenDrained(c)
		}
	case gateway.LimitUnsent:
		if c := s.connByID(effect.Conn); c != nil {
			s.limitUnsent(c, effect.Bytes)
		}
	case gateway.Dial:
		s.startDial(effect.Conn, effect.Addr, effect.Timeout)
	case gateway.QueryDNS:
		s.queryDNS(effect.Data)
	case gateway.SetNameServer:
		if err := s.openDNS(effect.Addr); err != nil {
			s.log.Warn("name service: not reached at its new address", zap.Error(err))
		}
	case gateway.SubmitSpool:
		s.submitToResultStore(effect.Effect)
	case gateway.SendToMember:
		s.sendToMember(effect)
	case gateway.JoinMembers:
		s.joinMembersOrRetry()
	case gateway.LeaveMembers:
		s.leaveMembers()
	case gateway.ControlResponse:
		if m := s.membership; m != nil && m.control != nil {
			m.control.respond(effect)
		}
	case gateway.PersistVoterLog:
		s.persist(effect.Batch)
	case gateway.CollectMemory:
		s.collectMemory()
	case gateway.LimitEventQueue:
		s.queue.setMaxBytes(effect.Bytes)
	case gateway.PauseAccepting:
		s.pauseAccepting(effect.Paused)
	case gateway.ReportMemory:
		s.logMemory(effect)
	case gateway.Log:
		s.writeLog(effect)
	}
}

var logLevels = map[gateway.Level]zapcore.Level{
	gateway.Debug: zapcore.DebugLevel, gateway.Info: zapcore.InfoLevel, gateway.Warn: zapcore.WarnLevel,
}

func (s *Server) writeLog(effect gateway.Log) {
	entry := s.log.Check(logLevels[effect.Level], effect.Text)
	if entry == nil {
		return
	}
	fields := make([]zap.Field, len(effect.Attrs))
	for i, a := range effect.Attrs {
		fields[i] = zap.Any(a.Key, a.Value)
	}
	entry.Write(fields...)
}
