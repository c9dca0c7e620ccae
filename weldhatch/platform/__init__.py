"""The platform's protocol: owners on JSON lines, servers on binary messages, the event bus."""
