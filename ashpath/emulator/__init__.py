"""Partner systems that are not real: models of them, and the sockets that play a model.

`command.demo` and the tests call them; a sender never does. The models know no clock: whoever plays one tells
the time. All that they show is made up here, and stands for no partner that anybody measured.
"""
