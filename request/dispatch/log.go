package dispatch

import "go.uber.org/zap"

// fields returns the summary as fields of a log line. They contain neither the key nor the prompt.
func (s *Summary) fields() []zap.Field {
	return []zap.Field{
		zap.String("request_id", s.RequestID),
		zap.String("workspace", s.Workspace),
		zap.String("class", s.Class),
		zap.String("route", s.Route),
		zap.Int("tier", s.Tier),
		zap.String("server", s.Server),
		zap.Int("attempts", s.Attempts),
		zap.String("result", s.Result),
		zap.String("reason", s.Reason),
		zap.Bool("not_run", s.NotRun),
		zap.Int64("first_token_ms", s.FirstToken.Milliseconds()),
		zap.Int64("duration_ms", s.Duration.Milliseconds()),
		zap.Int("prompt_tokens", s.PromptTokens),
		zap.Int("completion_tokens", s.CompletionTokens),
		zap.Int("wasted_tokens", s.WastedTokens),
	}
}
