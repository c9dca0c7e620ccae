"""The Python example in README.md runs as printed, and so stays in step with the code."""

import re
from pathlib import Path


def test_the_python_example_of_the_readme_runs():
    text = (Path(__file__).parent.parent / "README.md").read_text()
    [code] = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {})
