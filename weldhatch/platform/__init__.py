"""The platform's protocol: clients on JSON lines, servers on binary messages, and the event bus."""
