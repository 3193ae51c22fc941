# Engines that read prompts at six tenths of the speed.
s/prefill_tokens_per_ms = 157\.0/prefill_tokens_per_ms = 94.0/g
