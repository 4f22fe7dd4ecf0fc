"""Submit one message with Python's standard library and print the result.

Start the forwarder and the stand-ins of examples/forwarder.star first; see docs/operators.md.
"""

import smtplib

MESSAGE = "Message-ID: <example-1@here.example>\r\nSubject: pay\r\n\r\n12.50\r\n"

with smtplib.SMTP("127.0.0.1", 2525) as client:
    try:
        client.sendmail("me@here.example", ["settlement-pay@chain-1.example"], MESSAGE)
        print("delivered")
    except smtplib.SMTPResponseException as error:
        kind = "refused, retry later" if 400 <= error.smtp_code < 500 else "failed, check before repeating"
        print(kind, error.smtp_code, error.smtp_error.decode())
    except smtplib.SMTPRecipientsRefused as error:
        print("not accepted:", error.recipients)
